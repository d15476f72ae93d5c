//! Names the cases.

/// One test over a fresh site of real processes: `site_test!(name, options, |site| { ... })`.
macro_rules! site_test {
    ($name:ident, $options:expr, |$site:pat_param| $body:block) => {
        #[test]
        fn $name() {
            let $site = $crate::util::Site::start($options);
            $body
        }
    };
}
